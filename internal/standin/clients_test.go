package standin_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	s3types "github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/aws/smithy-go"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sassafrasspur/sassafrasspur/internal/standin/platform"
	"github.com/sassafrasspur/sassafrasspur/internal/timer"
)

func put(key, version, condition string) types.TransactWriteItem {
	return types.TransactWriteItem{Put: &types.Put{
		TableName: aws.String(platform.TableName),
		Item: map[string]types.AttributeValue{
			"kind":    &types.AttributeValueMemberS{Value: "node"},
			"key":     &types.AttributeValueMemberS{Value: key},
			"version": &types.AttributeValueMemberN{Value: version},
		},
		ConditionExpression:                 aws.String(condition),
		ExpressionAttributeNames:            map[string]string{"#kind": "kind"},
		ReturnValuesOnConditionCheckFailure: types.ReturnValuesOnConditionCheckFailureAllOld,
	}}
}

func code(err error) string {
	var api smithy.APIError
	if errors.As(err, &api) {
		return api.ErrorCode()
	}
	return ""
}

// These tests guard against answers that the published clients can't read.
var _ = Describe("the platform with the published clients", func() {
	var (
		tables  *dynamodb.Client
		objects *s3.Client
		control string
	)

	BeforeEach(func() {
		// On a standing clock the limits are not replenished, however slow the
		// machine is.
		clock := timer.NewManual(epoch)
		p := platform.New(platform.WithTimers(timer.New(timer.WithManual(clock))), platform.WithLimits(2000, 400))
		DeferCleanup(p.Close)
		tableServer, objectServer := httptest.NewServer(p.Tables()), httptest.NewServer(p.Objects())
		DeferCleanup(tableServer.Close)
		DeferCleanup(objectServer.Close)
		control = objectServer.URL + "/standin/faults"
		static := credentials.NewStaticCredentialsProvider("id", "secret", "")
		tables = dynamodb.New(dynamodb.Options{
			BaseEndpoint: aws.String(tableServer.URL), Region: "local", Credentials: static, Retryer: aws.NopRetryer{},
		})
		objects = s3.New(s3.Options{
			BaseEndpoint: aws.String(objectServer.URL), Region: "local", Credentials: static, Retryer: aws.NopRetryer{},
			UsePathStyle: true,
		})
	})

	fault := func(body string) {
		response, err := http.Post(control, "application/json", bytes.NewBufferString(body))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}

	transact := func(ctx context.Context, items ...types.TransactWriteItem) error {
		_, err := tables.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{TransactItems: items})
		return err
	}

	It("gives the reasons of a cancelled transaction", func(ctx SpecContext) {
		absent := "attribute_not_exists(#kind)"
		Expect(transact(ctx, put("a", "1", absent))).To(Succeed())
		err := transact(ctx, put("b", "1", absent), put("a", "2", absent))
		var cancelled *types.TransactionCanceledException
		Expect(errors.As(err, &cancelled)).To(BeTrue(), "%v", err)
		Expect(cancelled.CancellationReasons).To(HaveLen(2))
		Expect(*cancelled.CancellationReasons[0].Code).To(Equal("None"))
		Expect(*cancelled.CancellationReasons[1].Code).To(Equal("ConditionalCheckFailed"))
		Expect(cancelled.CancellationReasons[1].Item).To(HaveKey("version"))

		found, err := tables.Query(ctx, &dynamodb.QueryInput{
			TableName:                 aws.String(platform.TableName),
			KeyConditionExpression:    aws.String("#kind = :kind"),
			ExpressionAttributeNames:  map[string]string{"#kind": "kind"},
			ExpressionAttributeValues: map[string]types.AttributeValue{":kind": &types.AttributeValueMemberS{Value: "node"}},
			ConsistentRead:            aws.Bool(true),
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(found.Items).To(HaveLen(1))
	})

	It("gives the kinds of errors of limits and outages", func(ctx SpecContext) {
		absent := "attribute_not_exists(#kind)"
		items := make([]types.TransactWriteItem, 100)
		for i := range items {
			items[i] = put("k"+strconv.Itoa(i), "1", absent)
		}
		Expect(transact(ctx, items...)).To(Succeed())
		err := transact(ctx, put("z", "1", absent))
		var throttled *types.ProvisionedThroughputExceededException
		Expect(errors.As(err, &throttled)).To(BeTrue(), "%v", err)
		fault(`{"outage":true}`)
		var outage *types.InternalServerError
		err = transact(ctx, put("z", "1", absent))
		Expect(errors.As(err, &outage)).To(BeTrue(), "%v", err)
	})

	It("writes, reads and deletes objects", func(ctx SpecContext) {
		bucket, key := aws.String(platform.TableName), aws.String("journal/vm-1/2/3")
		write := func() error {
			_, err := objects.PutObject(ctx, &s3.PutObjectInput{
				Bucket: bucket, Key: key, Body: bytes.NewReader([]byte("payload")), IfNoneMatch: aws.String("*"),
			})
			return err
		}
		Expect(write()).To(Succeed())
		Expect(code(write())).To(Equal("PreconditionFailed"))
		read, err := objects.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: key})
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(read.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("payload"))
		_, err = objects.DeleteObject(ctx, &s3.DeleteObjectInput{Bucket: bucket, Key: key})
		Expect(err).NotTo(HaveOccurred())
		_, err = objects.GetObject(ctx, &s3.GetObjectInput{Bucket: bucket, Key: key})
		var missing *s3types.NoSuchKey
		Expect(errors.As(err, &missing)).To(BeTrue(), "%v", err)
		fault(`{"outage":true}`)
		Expect(code(write())).To(Equal("InternalError"))
	})

	It("does not answer while it is silent", func(ctx SpecContext) {
		fault(`{"silent":true}`)
		short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
		defer cancel()
		err := transact(short, put("a", "1", "attribute_not_exists(#kind)"))
		Expect(errors.Is(err, context.DeadlineExceeded)).To(BeTrue(), "%v", err)
		fault(`{"silent":false}`)
		// The held write may take effect now, so another row is written.
		Expect(transact(ctx, put("b", "1", "attribute_not_exists(#kind)"))).To(Succeed())
	}, SpecTimeout(10*time.Second))
})
